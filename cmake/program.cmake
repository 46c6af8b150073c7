# The running program: one library a package, arrows downward as in docs/architecture.md.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(RE2 REQUIRED IMPORTED_TARGET re2)

add_library(snowshore_records STATIC src/records/value.cpp src/records/records.cpp)
target_include_directories(snowshore_records PUBLIC src)
target_link_libraries(snowshore_records PRIVATE PkgConfig::RE2)
