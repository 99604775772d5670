set(CMAKE_CXX_STANDARD 17) # websocketpp 0.8.2 does not compile as C++20.
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR})

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

set(FILBERTGW_SANITIZE "" CACHE STRING "Value for -fsanitize, for example address,undefined or thread")

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(TBB REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log thread system)
find_package(nlohmann_json REQUIRED)

add_library(filbertgw_options INTERFACE)
target_compile_options(filbertgw_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(filbertgw_options INTERFACE BOOST_LOG_DYN_LINK BOOST_BIND_GLOBAL_PLACEHOLDERS)
target_link_libraries(filbertgw_options INTERFACE
    Boost::log Boost::thread Boost::system OpenSSL::SSL OpenSSL::Crypto TBB::tbb
    nlohmann_json::nlohmann_json Threads::Threads)
if(FILBERTGW_SANITIZE)
    # GCC's -Wmaybe-uninitialized has false positives in Beast's headers when sanitizers instrument them.
    target_compile_options(filbertgw_options INTERFACE
        -fsanitize=${FILBERTGW_SANITIZE} -fno-omit-frame-pointer -g -Wno-maybe-uninitialized)
    # TSan doesn't model the fences that Asio puts around handlers; its locks suffice without them.
    target_compile_definitions(filbertgw_options INTERFACE BOOST_ASIO_DISABLE_FENCED_BLOCK)
    if(FILBERTGW_SANITIZE STREQUAL "thread")
        target_compile_options(filbertgw_options INTERFACE -Wno-tsan)
    endif()
    target_link_options(filbertgw_options INTERFACE -fsanitize=${FILBERTGW_SANITIZE})
endif()
