# Broken variants of the program's code, for tests that must find them. A variant is a copy of one source file in which one stated text
# is replaced; it is compiled into a test executable, where it takes the place of the library's own object. The program never
# contains it. Configuring fails where the text does not stand in the file exactly once, so that a variant can't go stale.
#
#   beechpoint_variant(TARGET name SOURCE src/replica/chain.cpp FIND "text" REPLACE "other text")
function(beechpoint_variant)
  cmake_parse_arguments(PARSE_ARGV 0 arg "" "TARGET;SOURCE;FIND;REPLACE" "")
  set(source "${PROJECT_SOURCE_DIR}/${arg_SOURCE}")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS "${source}")
  file(READ "${source}" text)
  string(FIND "${text}" "${arg_FIND}" first)
  string(FIND "${text}" "${arg_FIND}" last REVERSE)
  if(first EQUAL -1 OR NOT first EQUAL last)
    message(FATAL_ERROR "variant ${arg_TARGET}: '${arg_FIND}' must stand in ${arg_SOURCE} exactly once")
  endif()
  string(REPLACE "${arg_FIND}" "${arg_REPLACE}" text "${text}")
  get_filename_component(name "${source}" NAME)
  set(copy "${CMAKE_CURRENT_BINARY_DIR}/variants/${arg_TARGET}/${name}")
  file(WRITE "${copy}.new" "${text}")
  file(COPY_FILE "${copy}.new" "${copy}" ONLY_IF_DIFFERENT)
  target_sources(${arg_TARGET} PRIVATE "${copy}")
  target_include_directories(${arg_TARGET} PRIVATE "${PROJECT_SOURCE_DIR}/src")
endfunction()
