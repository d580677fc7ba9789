# Adds the programs of the review to the project's build, once all targets of
# the project are known. See build.sh.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
  ${CMAKE_SOURCE_DIR}/review/targets.cmake)
