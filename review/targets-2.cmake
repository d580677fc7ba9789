# Adds the stand-ins of the second review to the project's build. Included by
# review/build-2.sh with CMAKE_PROJECT_mimosadeal_INCLUDE, at the end of the
# project's own file.
function(mimosadeal_review_2_targets)
  set(folder ${CMAKE_SOURCE_DIR}/review)
  add_library(review-2-deployment STATIC EXCLUDE_FROM_ALL
    ${folder}/standins-2/small_deployment.cc)
  target_include_directories(review-2-deployment PUBLIC ${folder}/standins-2)
  target_link_libraries(review-2-deployment PUBLIC mimosadeal_testbed)
  foreach(number 6 7 8 9 10)
    if(EXISTS ${folder}/${number}/case.cc)
      add_executable(review-2-case-${number} EXCLUDE_FROM_ALL
        ${folder}/${number}/case.cc)
      target_link_libraries(review-2-case-${number} PRIVATE
        review-2-deployment)
      list(APPEND cases review-2-case-${number})
    endif()
  endforeach()
  add_custom_target(review-2 DEPENDS ${cases})
endfunction()
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL
  mimosadeal_review_2_targets)
