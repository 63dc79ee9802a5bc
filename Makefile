.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# An operator's file is named by CONFIG=...
CONFIG ?= deploy/operator.toml
run: build
	target/release/amberspindle serve --config $(CONFIG)
