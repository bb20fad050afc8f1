#!/bin/bash
# Whether `packages` of deploy/system.toml is complete: packages_test.sh ROOT BUILD. Every header that the serving system's objects were
# compiled from, every library that the program is linked with, and every tool of the build must belong to a package that is listed, or to
# one that a listed package brings along and that stands below by name. Nothing is installed or built here: it reads what the build left.
set -uo pipefail
root=$1 build=$2
declare -A listed
while IFS= read -r name; do listed[$name]=1; done < <(sed -n 's/^packages *= *\[\(.*\)\]/\1/p' "$root/deploy/system.toml" | tr -d '" ' | tr ',' '\n')

# What comes with a listed package: a pattern of the package's name and the listed package that depends on it.
brought_along() {
  case $1 in
    libstdc++-*-dev | libgcc-*-dev | libc6-dev | linux-libc-dev | g++-*) echo g++ ;;
    libboost1.*-dev) echo libboost-dev ;;
    *) echo "$1" ;;
  esac
}

failed=0
need() {  # file, what needs it
  local package
  package=$(dpkg -S "$(readlink -f "$1")" 2>/dev/null | head -n 1 | cut -d: -f1)
  if [ -z "$package" ]; then
    echo "no package has $1, which $2 needs"
    failed=1
    return
  fi
  need_package "$package" "$2"
}
need_package() {
  local by
  by=$(brought_along "$1")
  [ -n "${listed[$by]:-}" ] && return
  echo "deploy/system.toml: packages lacks $by ($1), which $2 needs"
  failed=1
}

[ "${#listed[@]}" -gt 0 ] || { echo "deploy/system.toml names no packages"; exit 1; }

# Headers, by the compiler's own record of each object; the parts that the build of the deploy file leaves out are passed over.
headers=$(find "$build/src" "$build/CMakeFiles" -name '*.o.d' -not -path "$build/src/emulator/*" -not -path "$build/src/layout/*" -print0 |
  xargs -0 cat | tr ' \\' '\n\n' | grep '^/usr/' | sort -u)
[ "$(grep -c . <<< "$headers")" -gt 500 ] || { echo "the build's records of headers were not found in $build"; exit 1; }
packages=$(xargs readlink -f <<< "$headers" | sort -u | xargs dpkg -S 2>/dev/null | cut -d: -f1 | sort -u)
for package in $packages; do need_package "$package" "a header of the build"; done

# Libraries on the command line that links the program; the link without a version is in the -dev package.
libraries=$(tr ' ' '\n' < "$build/CMakeFiles/beechpoint.dir/link.txt" | grep -o '^/usr/.*\.so\|^/usr/.*\.a$' | sort -u)
[ -n "$libraries" ] || { echo "the program's libraries were not found in $build"; exit 1; }
for library in $libraries; do
  package=$(dpkg -S "$library" 2>/dev/null | head -n 1 | cut -d: -f1)
  if [ -n "$package" ]; then need_package "$package" "$library"; else echo "no package has $library"; failed=1; fi
done

# Tools, as the build found them.
cached() { sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"; }
for tool in CMAKE_COMMAND CMAKE_MAKE_PROGRAM CMAKE_CXX_COMPILER; do need "$(cached "$tool")" "$tool"; done

[ "$failed" -eq 0 ] && echo "all packages of the build are listed"
exit "$failed"
