# SPDX-License-Identifier: Apache-2.0
# Adds the project's stand-in for workers to a build without tests, once all packages are declared.
set(stand_ins_2_root "${CMAKE_CURRENT_LIST_DIR}/../..")
cmake_language(DEFER CALL add_executable task_workers_stand_in
               ${stand_ins_2_root}/tests/stand_ins/task_workers_main.cc
               ${stand_ins_2_root}/tests/stand_ins/task_worker.cc
               ${stand_ins_2_root}/tests/libraries/scheduler/fake_worker.cc)
cmake_language(DEFER CALL target_link_libraries task_workers_stand_in PRIVATE
               sumac_http sumac_scheduler Boost::program_options)
