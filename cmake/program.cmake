# The laboratory: stand-ins, days, the judge, load.
find_package(Boost REQUIRED COMPONENTS random)
add_library(snowshore_lab_parts STATIC src/lab/day.cpp src/lab/server.cpp src/lab/players.cpp src/lab/run_day.cpp
            src/lab/judge.cpp src/lab/load_test.cpp src/lab/baseline_engine.cpp src/lab/management_load.cpp)
target_link_libraries(snowshore_lab_parts PUBLIC snowshore_config snowshore_hints snowshore_serverwire snowshore_telemetry
                      snowshore_management Boost::random)
include(cmake/soak.cmake)
add_executable(snowshore-lab src/cli/snowshore_lab.cpp src/cli/soak.cpp)
target_link_libraries(snowshore-lab PRIVATE snowshore_lab_parts snowshore_soak snowshore_front_program)

if(SNOWSHORE_PROGRAM_DIR)
  set_target_properties(snowshore-lab PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${SNOWSHORE_PROGRAM_DIR})
  set_target_properties(snowshore_soak_shim PROPERTIES LIBRARY_OUTPUT_DIRECTORY ${SNOWSHORE_PROGRAM_DIR})
endif()
