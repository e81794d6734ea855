# The two commands of the README, and what they are made of.
.PHONY: demo check build format packages

demo: build
	scripts/demo.sh

check: packages
	scripts/check.sh

build: packages
	cmake -G Ninja -S . -B build -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
	cmake --build build

format:
	scripts/format.sh

packages:
	scripts/install-packages.sh
