# Shirebound: coach booking and departures.
service("bookings")

# Requests of other kinds read current data and may wait two seconds.
default(read = current(), wait = "2s", replica_wait = "150ms")

# Passengers and resellers book seats and pay. Payments are never retried.
kind("seat_booking", read = session(), wait = "3s")
kind("payment", read = session(), wait = "3s", repeatable = False)
kind("departure_cancel", wait = "5s")

# Passengers see their own bookings immediately and those of others later.
kind("own_booking", read = session(), wait = "2s", replica_wait = "250ms")

# Drivers' handsets read manifests before boarding.
kind("manifest", read = current(), wait = "3s", replica_wait = "500ms")

# The timetable must not show a cancelled departure, so it reads current data.
# It waits up to a second for a replica that has caught up.
kind("timetable", read = current(), wait = "2s", replica_wait = "1s")

# Yearly reports are refused.
kind("yearly_report", refuse = True, retry_after = "1h")

share("passenger", 4)
share("driver", 4)
share("reseller", 1)
