# cumin_needs_cxx20(TARGET) - compiles a target with coroutines. g++ 12 takes the
# frame allocator of Asio's coroutines for a mismatch of new and delete.
function(cumin_needs_cxx20 target)
  set_target_properties(${target} PROPERTIES CXX_STANDARD 20)
  target_compile_options(${target} PRIVATE -Wno-mismatched-new-delete)
endfunction()

# cumin_module(NAME LIBS ... [CXX20]) - a library from every source file of
# modules/NAME. Modules with coroutines need C++20, and so do their users.
function(cumin_module name)
  cmake_parse_arguments(ARG "CXX20" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/modules/${name}/*.cc)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} PUBLIC ${ARG_LIBS} Threads::Threads)
    if(ARG_CXX20)
      cumin_needs_cxx20(${name})
    endif()
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} INTERFACE ${ARG_LIBS} Threads::Threads)
  endif()
endfunction()

# cumin_program(NAME LIBS ...) - a library NAME_core from the source files of
# programs/NAME, which tests may link, and an executable from its main.cc.
function(cumin_program name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  set(folder ${CMAKE_SOURCE_DIR}/programs/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
  list(REMOVE_ITEM sources ${folder}/main.cc)
  if(sources)
    add_library(${name}_core STATIC ${sources})
    target_include_directories(${name}_core PUBLIC ${CMAKE_SOURCE_DIR}/programs)
    target_link_libraries(${name}_core PUBLIC ${ARG_LIBS})
    set(ARG_LIBS ${name}_core)
  endif()
  if(EXISTS ${folder}/main.cc)
    add_executable(${name} ${folder}/main.cc)
    target_link_libraries(${name} PRIVATE ${ARG_LIBS})
  endif()
endfunction()

# cumin_standin(NAME LIBS ...) - a stand-in for an outside system: a library
# NAME_core from the source files of tests/standins/NAME, which tests may link,
# and an executable from its main.cc.
function(cumin_standin name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  set(folder ${CMAKE_SOURCE_DIR}/tests/standins/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
  list(REMOVE_ITEM sources ${folder}/main.cc)
  if(sources)
    add_library(${name}_core STATIC ${sources})
    target_include_directories(${name}_core PUBLIC ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name}_core PUBLIC ${ARG_LIBS})
    add_executable(${name} ${folder}/main.cc)
    target_link_libraries(${name} PRIVATE ${name}_core)
  endif()
endfunction()

# cumin_test(NAME LIBS ...) - a test program from tests/NAME/*.cc and the shared
# main of tests/support. Properties run with the fixed seed that main prints.
function(cumin_test name)
  cmake_parse_arguments(ARG "CXX20" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc)
  if(sources)
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name}_test PRIVATE ${ARG_LIBS} test_main)
    if(ARG_CXX20)
      cumin_needs_cxx20(${name}_test)
    endif()
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
  endif()
endfunction()
