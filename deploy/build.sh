#!/bin/sh
# Puts what runs under target/deps: pinned libraries, then the packages.
#
# Processes that run or start meanwhile import from there. What changed is put
# together in target/staging, and each file is replaced by a rename.
set -eu
deps=target/deps
staging=target/staging
packages='core engine platform instance'

# Writes what the built libraries depend on; compiled ones fit one kind of
# machine and one Python.
libraries_stamp() {
    python3 -c 'import sys, sysconfig
print(sys.version, sysconfig.get_platform())'
    cat constraints.txt deploy/requirements.txt
}

packages_stamp() {
    python3 -c 'import sys; print(sys.implementation.cache_tag)'
    for package in $packages; do
        find "packages/$package/swifthoist_$package" \
            -name __pycache__ -prune -o -type f -exec cksum {} +
    done
}

# Moves the staged files into place, then removes those of the earlier build
# that find selects with the arguments and that were not staged.
publish() {
    (cd "$staging" && find . -type f) | LC_ALL=C sort > target/staged.files
    (cd "$deps" && find . -type f "$@") | LC_ALL=C sort > target/earlier.files
    while IFS= read -r file; do
        mkdir -p "$deps/${file%/*}"
        mv -f "$staging/$file" "$deps/$file"
    done < target/staged.files
    LC_ALL=C comm -13 target/staged.files target/earlier.files \
        > target/dropped.files
    while IFS= read -r file; do
        rm -f "$deps/$file"
    done < target/dropped.files
}

mkdir -p "$deps"
# The shell holds the lock until it ends, since the descriptor is its own.
exec 9> target/build.lock
python3 -c 'import fcntl; fcntl.flock(9, fcntl.LOCK_EX)'

libraries_stamp > target/libraries.wanted
if ! cmp -s target/libraries.wanted target/libraries.stamp; then
    rm -rf "$staging" target/libraries.stamp
    mkdir "$staging"
    python3 -m pip install -q --target "$staging" \
        -c constraints.txt -r deploy/requirements.txt
    publish ! -path './swifthoist_*'
    mv -f target/libraries.wanted target/libraries.stamp
fi

packages_stamp > target/packages.wanted
if ! cmp -s target/packages.wanted target/packages.stamp; then
    rm -rf "$staging" target/packages.stamp
    mkdir "$staging"
    for package in $packages; do
        cp -r "packages/$package/swifthoist_$package" "$staging/"
    done
    find "$staging" -name __pycache__ -prune -exec rm -rf {} +
    python3 -m compileall -q -s "$staging" -p "$deps" "$staging"
    publish -path './swifthoist_*'
    mv -f target/packages.wanted target/packages.stamp
fi
