#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linter need, unless all
# of them are installed.
set -euo pipefail
packages=(g++ clang cmake ninja-build clang-format clang-tidy libclang-rt-14-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libgflags-dev
  libgoogle-glog-dev doctest-dev nlohmann-json3-dev libcpp-httplib-dev libevent-dev pkg-config
  prometheus-cpp-dev libxxhash-dev libabsl-dev liblua5.4-dev librapidcheck-dev libpcg-cpp-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
