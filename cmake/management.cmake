# Management over gNMI beside the front.
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

add_library(snowshore_management STATIC src/management/manager.cpp src/management/subscription_tracker.cpp
            src/management/access.cpp src/management/gnmi_codec.cpp src/management/service.cpp src/management/client.cpp)
target_link_libraries(snowshore_management PUBLIC snowshore_transaction snowshore_model snowshore_store snowshore_config snowshore_telemetry
                      snowshore_proto PRIVATE PkgConfig::OPENSSL)

