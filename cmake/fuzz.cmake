# Fuzz targets with libFuzzer; CI runs their corpus and a bounded number of runs.
foreach(target records wire management)
  add_executable(fuzz_${target} tests/fuzz/fuzz_${target}.cpp)
  target_compile_options(fuzz_${target} PRIVATE -fsanitize=fuzzer)
  target_link_options(fuzz_${target} PRIVATE -fsanitize=fuzzer)
endforeach()
target_link_libraries(fuzz_records PRIVATE snowshore_records)
target_link_libraries(fuzz_wire PRIVATE snowshore_hints snowshore_serverwire)
target_link_libraries(fuzz_management PRIVATE snowshore_management)
