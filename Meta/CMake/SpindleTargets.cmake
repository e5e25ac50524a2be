# Helpers that declare the project's targets. Each folder's CMakeLists.txt
# names only what the folder links to; its sources are every .cpp file in it.

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS fiber context log log_setup system thread)
find_package(OpenSSL REQUIRED)
find_package(Protobuf REQUIRED)
find_package(gRPC CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json CONFIG REQUIRED)
if(SPINDLE_WITH_TESTS)
  find_package(Catch2 2 REQUIRED)
  find_package(rapidcheck CONFIG REQUIRED)
  find_package(benchmark REQUIRED)
  include(Catch)
endif()

find_program(SPINDLE_CCACHE ccache)
if(SPINDLE_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${SPINDLE_CCACHE})
endif()

find_program(SPINDLE_MOLD mold)
if(SPINDLE_MOLD)
  add_link_options(-fuse-ld=mold)
endif()

add_compile_definitions(BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED)
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow=local
                    -Wno-deprecated-declarations)
if(SPINDLE_WARNINGS_AS_ERRORS)
  add_compile_options(-Werror)
endif()
if(SPINDLE_SANITIZE)
  add_compile_options(-fsanitize=${SPINDLE_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SPINDLE_SANITIZE})
  # Sanitizers make gcc warn falsely about values it can no longer follow.
  add_compile_options(-Wno-maybe-uninitialized -Wno-tsan)
  # The sanitizers don't see Boost.Context switch from fiber to fiber. Without
  # these settings, an exception that is thrown on a fiber leaves the marks of
  # the frames it passed, and entries and exits of functions don't match.
  if(SPINDLE_SANITIZE MATCHES "address")
    add_compile_options(--param=asan-stack=0)
  elseif(SPINDLE_SANITIZE MATCHES "thread")
    add_compile_options(--param=tsan-instrument-func-entry-exit=0)
  endif()
endif()

# spindle_library(NAME LINK targets...): a static library of the folder's files.
function(spindle_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} INTERFACE ${ARG_LINK})
  endif()
endfunction()

# spindle_program(NAME LINK targets...): a program of the folder's files.
function(spindle_program name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# spindle_test(NAME LINK targets...): a Catch2 program of the folder's files.
# Each test case becomes a ctest entry. RapidCheck's seed is fixed, so that
# each run gives the same verdict.
function(spindle_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE TestSupport ${ARG_LINK})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
  target_compile_definitions(${name} PRIVATE
    SPINDLE_SOURCE_DIRECTORY="${PROJECT_SOURCE_DIR}"
    SPINDLE_BINARY_DIRECTORY="${PROJECT_BINARY_DIR}/bin")
  catch_discover_tests(${name} TEST_PREFIX "${name}: "
    PROPERTIES TIMEOUT 240 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# spindle_benchmark(NAME SOURCE LINK targets...): one Google Benchmark program.
function(spindle_benchmark name source)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE benchmark::benchmark ${ARG_LINK})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Adds every subfolder that has a CMakeLists.txt.
macro(spindle_add_subfolders)
  file(GLOB subfolder_lists CONFIGURE_DEPENDS */CMakeLists.txt)
  foreach(subfolder_list ${subfolder_lists})
    get_filename_component(subfolder ${subfolder_list} DIRECTORY)
    add_subdirectory(${subfolder})
  endforeach()
endmacro()
