# The running program: one library a package, arrows downward as in docs/architecture.md.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(RE2 REQUIRED IMPORTED_TARGET re2)

add_library(snowshore_records STATIC src/records/value.cpp src/records/records.cpp)
target_include_directories(snowshore_records PUBLIC src)
target_link_libraries(snowshore_records PRIVATE PkgConfig::RE2)

find_path(HTTP_PARSER_INCLUDE http_parser.h REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_path(ASIO_INCLUDE asio.hpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
find_package(prometheus-cpp REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(snowshore_http STATIC src/http/message.cpp src/http/server.cpp src/http/client.cpp)
target_include_directories(snowshore_http PUBLIC src)
target_include_directories(snowshore_http SYSTEM PUBLIC ${HTTP_PARSER_INCLUDE} ${ASIO_INCLUDE})
target_compile_definitions(snowshore_http PUBLIC ASIO_STANDALONE)
target_link_libraries(snowshore_http PUBLIC ${HTTP_PARSER_LIBRARY} Threads::Threads)

add_library(snowshore_hints STATIC src/hints/structured.cpp src/hints/hints.cpp)
target_include_directories(snowshore_hints PUBLIC src)

add_library(snowshore_telemetry STATIC src/telemetry/log.cpp src/telemetry/metrics.cpp)
target_include_directories(snowshore_telemetry PUBLIC src)
target_link_libraries(snowshore_telemetry PUBLIC nlohmann_json::nlohmann_json prometheus-cpp::core PRIVATE spdlog::spdlog)

add_library(snowshore_serverwire STATIC src/serverwire/protocol.cpp)
target_link_libraries(snowshore_serverwire PUBLIC snowshore_http PRIVATE nlohmann_json::nlohmann_json)

add_library(snowshore_site STATIC src/site/front_record.cpp)
target_link_libraries(snowshore_site PUBLIC snowshore_decision snowshore_records snowshore_http)

# The YANG model goes into the program as text.
pkg_check_modules(LIBYANG REQUIRED IMPORTED_TARGET libyang)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS yang/snowshore.yang)
file(READ ${CMAKE_SOURCE_DIR}/yang/snowshore.yang SNOWSHORE_YANG)
configure_file(cmake/module_text.cpp.in ${CMAKE_BINARY_DIR}/module_text.cpp @ONLY)
add_library(snowshore_model STATIC src/model/path.cpp src/model/model.cpp ${CMAKE_BINARY_DIR}/module_text.cpp)
target_link_libraries(snowshore_model PUBLIC snowshore_records nlohmann_json::nlohmann_json PRIVATE PkgConfig::LIBYANG)

pkg_check_modules(ROCKSDB REQUIRED IMPORTED_TARGET rocksdb)
add_library(snowshore_transaction STATIC src/management/transaction.cpp)
target_include_directories(snowshore_transaction PUBLIC src)

add_library(snowshore_store STATIC src/store/store.cpp)
target_link_libraries(snowshore_store PUBLIC snowshore_transaction PRIVATE PkgConfig::ROCKSDB nlohmann_json::nlohmann_json)

add_library(snowshore_edge STATIC src/edge/list_source.cpp src/edge/channel.cpp
            src/edge/plays.cpp src/edge/core.cpp src/edge/edge.cpp src/edge/change.cpp)
target_link_libraries(snowshore_edge PUBLIC snowshore_site snowshore_hints snowshore_telemetry snowshore_serverwire PRIVATE PkgConfig::XXHASH)

# gNMI, from proto/.
find_package(Protobuf REQUIRED)
pkg_check_modules(GRPC REQUIRED IMPORTED_TARGET grpc++)
pkg_check_modules(OPENSSL REQUIRED IMPORTED_TARGET libcrypto)
find_program(GRPC_CPP_PLUGIN grpc_cpp_plugin REQUIRED)
set(proto_out ${CMAKE_BINARY_DIR}/proto)
file(MAKE_DIRECTORY ${proto_out})
set(proto_sources ${proto_out}/gnmi.pb.cc ${proto_out}/gnmi.grpc.pb.cc ${proto_out}/gnmi_ext.pb.cc)
add_custom_command(
  OUTPUT ${proto_sources} ${proto_out}/gnmi.pb.h ${proto_out}/gnmi.grpc.pb.h ${proto_out}/gnmi_ext.pb.h
  COMMAND protobuf::protoc -I ${CMAKE_SOURCE_DIR}/proto --cpp_out=${proto_out} --grpc_out=${proto_out}
          --plugin=protoc-gen-grpc=${GRPC_CPP_PLUGIN} gnmi.proto gnmi_ext.proto
  DEPENDS proto/gnmi.proto proto/gnmi_ext.proto VERBATIM)
add_library(snowshore_proto STATIC ${proto_sources})
target_include_directories(snowshore_proto SYSTEM PUBLIC ${proto_out})
target_link_libraries(snowshore_proto PUBLIC protobuf::libprotobuf PkgConfig::GRPC)
target_compile_options(snowshore_proto PRIVATE -w)

add_library(snowshore_management STATIC src/management/manager.cpp src/management/follower.cpp
            src/management/access.cpp src/management/wire.cpp src/management/service.cpp src/management/client.cpp)
target_link_libraries(snowshore_management PUBLIC snowshore_transaction snowshore_model snowshore_store snowshore_site snowshore_telemetry
                      snowshore_proto PRIVATE PkgConfig::OPENSSL)

add_library(snowshore_front_program STATIC src/program/run.cpp)
target_link_libraries(snowshore_front_program PUBLIC snowshore_edge PRIVATE snowshore_management)

add_executable(snowshore src/cli/snowshore.cpp src/cli/manage.cpp)
target_compile_definitions(snowshore PRIVATE SNOWSHORE_VERSION="0.2.0")
target_link_libraries(snowshore PRIVATE snowshore_front_program snowshore_management)

find_package(Boost REQUIRED COMPONENTS random)
add_library(snowshore_lab_parts STATIC src/lab/day.cpp src/lab/server.cpp src/lab/players.cpp src/lab/run_day.cpp
            src/lab/judge.cpp src/lab/load.cpp src/lab/first_holder.cpp src/lab/manage.cpp)
target_link_libraries(snowshore_lab_parts PUBLIC snowshore_site snowshore_hints snowshore_serverwire snowshore_telemetry
                      snowshore_management Boost::random)
add_executable(snowshore-lab src/cli/snowshore_lab.cpp)
target_link_libraries(snowshore-lab PRIVATE snowshore_lab_parts snowshore_front_program)

set(SNOWSHORE_PROGRAM_DIR "" CACHE PATH "Where the programs go (default: the build folder)")
if(SNOWSHORE_PROGRAM_DIR)
  set_target_properties(snowshore snowshore-lab PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${SNOWSHORE_PROGRAM_DIR})
endif()

