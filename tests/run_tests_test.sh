#!/bin/bash
# tools/run-tests on a made folder with a test that passes and two that fail: run_tests_test.sh TOOL FOLDER.
set -uo pipefail
tool=$1 folder=$2
rm -rf "$folder" && mkdir -p "$folder/review/4"
printf 'add_test(CrowdTest.red "/bin/false")\n' > "$folder/CTestTestfile.cmake"
printf 'add_test(good "/bin/true")\nadd_test(bad.one "/bin/false")\nadd_test(bad_two "/bin/false")\n' >> "$folder/CTestTestfile.cmake"
list=$folder/red.txt
check() {  # what is expected, the exit status's sign, a text in the output
  local out status=0
  out=$("$tool" "$folder" "$list" 2 2>&1) || status=1
  [ "$status" = "$2" ] && grep -qF -- "$3" <<< "$out" && return
  printf 'failed: %s (status %s)\n%s\n' "$1" "$status" "$out"
  exit 1
}
entries() {  # the tests' names: writes a list with a sound line for each
  : > "$list"
  for name in "$@"; do printf '%s | run %s, seed 7 | it failed | 1\n' "$name" "$name" >> "$list"; done
}
rm -f "$list"; check "no list: a red crowd test fails" 1 'CrowdTest.red (Failed)'
rm -f "$list"; check "no list: a red test fails" 1 'bad.one (Failed)'
entries bad.one; check "one listed: the other fails" 1 'bad_two (Failed)'
entries bad.one bad_two; check "both listed: the crowd test still fails" 1 'CrowdTest.red (Failed)'
entries bad.one bad_two CrowdTest.red; check "all listed: passed over" 0 '100% tests passed'
check "and printed" 0 'known to be red, passed over:'
check "and run" 0 'bad.one (Failed)'
entries bad.one bad_two none; check "an unknown name" 1 'no test is called none'
entries good bad.one bad_two good CrowdTest.red; check "a fourth line" 1 'at most'
needs='a line needs a test, a command and seed, what was seen and an issue'
printf 'bad.one\nbad_two | run, seed 7 | it failed | 1\n' > "$list"; check "a name alone" 1 "$needs"
printf 'bad.one | it failed | 1\n' > "$list"; check "no command" 1 "$needs"
printf 'bad.one | run, seed 7 | | 1\n' > "$list"; check "nothing seen" 1 "$needs"
printf 'bad.one | run, seed 7 | it failed | soon\n' > "$list"; check "no issue's number" 1 "$needs"
printf 'bad.one | run, seed 7 | it failed | 1 | more\n' > "$list"; check "a fifth field" 1 "$needs"
entries bad.one bad_two review/4 CrowdTest.red; check "a case of review/, and a crowd test that is not counted: the tests pass" 0 '100% tests passed'
check "and it is printed" 0 'review/4 | run review/4, seed 7 | it failed | 1'
entries review/4; check "a case of review/ does not cover a test" 1 'bad.one (Failed)'
entries review/5; check "an unknown case" 1 'there is no case review/5'
entries review/../review/4; check "another path" 1 'no test is called review/../review/4'
echo "all as expected"
