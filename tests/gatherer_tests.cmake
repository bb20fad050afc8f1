# Tests of the gatherer with real sockets. Each discovered test is a process of its own under CTest; all sockets listen on ports that the
# system chooses, and folders are made by mkdtemp, so that tests may run side by side. Tests of one target check times on a real
# clock, and hold one RESOURCE_LOCK, so that no more of them run at once than did as one program.
#
#   beechpoint_gatherer_test(net SOURCES server_test.cpp ... [TIMEOUT 240])
#
# makes the target net_tests, whose tests are called net.SUITE.TEST.
function(beechpoint_gatherer_test part)
  cmake_parse_arguments(PARSE_ARGV 1 arg "" "TIMEOUT" "SOURCES")
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 240)
  endif()
  add_executable(${part}_tests ${arg_SOURCES})
  target_link_libraries(${part}_tests PRIVATE beechpoint_gatherer_fixture GTest::gtest_main)
  target_precompile_headers(${part}_tests REUSE_FROM beechpoint_gatherer_fixture)
  gtest_discover_tests(${part}_tests TEST_PREFIX ${part}. DISCOVERY_TIMEOUT 60
                       PROPERTIES TIMEOUT ${arg_TIMEOUT} RESOURCE_LOCK ${part}_tests)
endfunction()
