# Gentvaart: driving theory exams.
service("exams")

default(read = current(), wait = "2s", replica_wait = "150ms")

# Candidates and schools book slots, desk staff check candidates in, terminals record answers.
kind("slot_booking", read = session(), wait = "3s")
kind("check_in", read = session(), wait = "3s")
kind("exam_answer", read = session(), wait = "5s", repeatable = False)
kind("result_publication", wait = "5s", repeatable = False)

# Candidates and staff see their own bookings and check-ins immediately.
kind("own_slot", read = session(), wait = "2s", replica_wait = "500ms")
kind("desk_list", read = session(), wait = "2s", replica_wait = "500ms")

# Results and free slots are read very often and may be two seconds old.
kind("results", read = lag("2s"), wait = "3s", replica_wait = "1s")
kind("free_slots", read = lag("2s"), wait = "2s", replica_wait = "1s")
kind("exam_rules", read = any(), wait = "2s")

share("candidate", 4)
share("desk", 8)
share("school", 1)
