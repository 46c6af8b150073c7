# The front: one library a package, arrows downward as in docs/architecture.md. Without SNOWSHORE_MANAGEMENT it is
# lean: no gRPC, RocksDB or libyang.
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

add_library(snowshore_config STATIC src/config/front_config.cpp)
target_link_libraries(snowshore_config PUBLIC snowshore_decision snowshore_records snowshore_http)

add_library(snowshore_registry STATIC src/registry/server_registry.cpp src/registry/address_book.cpp)
target_include_directories(snowshore_registry SYSTEM PUBLIC ${ASIO_INCLUDE})
target_compile_definitions(snowshore_registry PUBLIC ASIO_STANDALONE)
target_link_libraries(snowshore_registry PUBLIC snowshore_decision)

add_library(snowshore_edge STATIC src/edge/list_source.cpp src/edge/channel.cpp
            src/edge/play_table.cpp src/edge/send_guard.cpp src/edge/core.cpp src/edge/edge.cpp src/edge/config_change.cpp src/edge/serve.cpp)
target_link_libraries(snowshore_edge PUBLIC snowshore_registry snowshore_config snowshore_hints snowshore_telemetry snowshore_serverwire PRIVATE PkgConfig::XXHASH)

add_library(snowshore_jsonlines STATIC src/jsonlines/message.cpp src/jsonlines/server.cpp)
target_link_libraries(snowshore_jsonlines PUBLIC snowshore_http PRIVATE nlohmann_json::nlohmann_json)

add_library(snowshore_rtsp STATIC src/rtsp/message.cpp src/rtsp/peer.cpp)
target_link_libraries(snowshore_rtsp PUBLIC snowshore_http)

add_library(snowshore_discovery STATIC src/discovery/frames.cpp src/discovery/client.cpp)
target_link_libraries(snowshore_discovery PUBLIC snowshore_edge)

add_library(snowshore_platform STATIC src/platform/node_config.cpp src/platform/liveness.cpp src/platform/process_continuity.cpp src/platform/outcome_mapping.cpp
            src/platform/viewer_gateway.cpp src/platform/rtsp_server_gateway.cpp src/platform/front.cpp src/platform/run.cpp)
target_link_libraries(snowshore_platform PUBLIC snowshore_settings snowshore_edge snowshore_jsonlines snowshore_rtsp
                      snowshore_discovery)

if(SNOWSHORE_MANAGEMENT)
  include(cmake/management.cmake)
  set(beside src/program/with_management.cpp)
  set(commands src/cli/manage.cpp)
  set(beside_libraries snowshore_management)
else()
  set(beside src/program/without_management.cpp)
  set(commands src/cli/without_management.cpp)
endif()

add_library(snowshore_front_program STATIC src/program/run.cpp ${beside})
target_link_libraries(snowshore_front_program PUBLIC snowshore_edge PRIVATE ${beside_libraries})

add_executable(snowshore src/cli/snowshore.cpp ${commands})
target_compile_definitions(snowshore PRIVATE SNOWSHORE_VERSION="0.3.0")
target_link_libraries(snowshore PRIVATE snowshore_front_program snowshore_platform ${beside_libraries})

set(SNOWSHORE_PROGRAM_DIR "" CACHE PATH "Where the programs go (default: the build folder)")
if(SNOWSHORE_PROGRAM_DIR)
  set_target_properties(snowshore PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${SNOWSHORE_PROGRAM_DIR})
endif()
