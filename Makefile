.PHONY: build test check demo

build:
	go build -o bin/ ./cmd/...

test:
	bash .ci/test

check:
	bash .ci/check

demo:
	go run ./cmd/pierbench demo --deployment deployments/sorteerhulp
