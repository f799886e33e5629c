# SPDX-License-Identifier: Apache-2.0

# Declares the package NAME as a library target sumac_NAME from SOURCES. DEPENDS names the
# only packages and outside libraries that the package may use.
function(sumac_add_package NAME)
  cmake_parse_arguments(PACKAGE "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(sumac_${NAME} STATIC ${PACKAGE_SOURCES})
  target_include_directories(sumac_${NAME} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(sumac_${NAME} PUBLIC ${PACKAGE_DEPENDS})
endfunction()

# Declares the test program NAME_test for one package and registers it with ctest.
function(sumac_add_test NAME)
  cmake_parse_arguments(TEST "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME}_test ${TEST_SOURCES})
  target_link_libraries(${NAME}_test PRIVATE ${TEST_DEPENDS} GTest::gtest GTest::gtest_main)
  target_compile_definitions(${NAME}_test PRIVATE SUMAC_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${NAME} COMMAND ${NAME}_test)
  set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=1000")
endfunction()
