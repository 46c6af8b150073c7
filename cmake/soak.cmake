# The fault soak: stand-ins and oracle, and the library that its front ends are started with.
add_library(snowshore_soak STATIC src/soak/scenario.cpp src/soak/faulty_stream.cpp src/soak/rtsp_text.cpp src/soak/ledger.cpp
            src/soak/servers.cpp src/soak/clients.cpp src/soak/discovery.cpp src/soak/front_process.cpp
            src/soak/fleet.cpp src/soak/soak.cpp)
target_include_directories(snowshore_soak PUBLIC src)
target_include_directories(snowshore_soak SYSTEM PUBLIC ${ASIO_INCLUDE})
target_compile_definitions(snowshore_soak PUBLIC ASIO_STANDALONE)
target_link_libraries(snowshore_soak PUBLIC nlohmann_json::nlohmann_json Threads::Threads)
add_library(snowshore_soak_shim SHARED src/soak/shim.cpp)
target_link_libraries(snowshore_soak_shim PRIVATE ${CMAKE_DL_LIBS})
