.PHONY: build test demo check test-fleet

build:
	go build -o bin/dewknot ./cmd/dewknot

test:
	go test $(TESTFLAGS) ./...

check:
	bash .ci/run

demo: build
	bin/dewknot demo

test-fleet: build
	scripts/fleet-test.sh
