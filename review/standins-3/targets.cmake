# Included by CMake at the project() call, see review/build-3.sh. Adds the
# stand-ins of this review after the project's own targets.
function(add_review_3_targets)
  set(folder ${CMAKE_SOURCE_DIR}/review/standins-3)
  add_library(review3-world STATIC ${folder}/world.cc ${folder}/one_worker.cc
    ${folder}/keyed_worker.cc)
  target_include_directories(review3-world PUBLIC ${folder})
  target_link_libraries(review3-world PUBLIC mimosadeal_testbed)
  foreach(name paused_reader two_owners relayed_body)
    string(REPLACE "_" "-" target ${name})
    add_executable(review3-${target} ${folder}/${name}.cc)
    target_link_libraries(review3-${target} PRIVATE review3-world)
    set_target_properties(review3-${target} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/review-3)
  endforeach()
endfunction()
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL add_review_3_targets)
