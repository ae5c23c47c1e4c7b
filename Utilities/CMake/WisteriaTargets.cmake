# Functions that declare the targets of the project.

# Common properties of all hand-written targets.
add_library(WisteriaOptions INTERFACE)
target_compile_features(WisteriaOptions INTERFACE cxx_std_20)
target_compile_options(WisteriaOptions INTERFACE -Wall -Wextra -Wnon-virtual-dtor -Wshadow)
if(WISTERIA_WARNINGS_AS_ERRORS)
  target_compile_options(WisteriaOptions INTERFACE -Werror)
endif()
if(WISTERIA_SANITIZER)
  target_compile_options(WisteriaOptions INTERFACE
    -fsanitize=${WISTERIA_SANITIZER} -fno-omit-frame-pointer)
  target_link_options(WisteriaOptions INTERFACE -fsanitize=${WISTERIA_SANITIZER})
endif()
find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  target_link_options(WisteriaOptions INTERFACE
    -fuse-ld=mold
    # Without it, a program whose code ends within eight bytes of a page end does not start: the page
    # before the segment that becomes read-only is not mapped.
    -Wl,-z,separate-loadable-segments)
endif()

# Declares a library of the project: wisteria_library(NAME sources...).
function(wisteria_library name)
  add_library(${name} STATIC ${ARGN})
  target_include_directories(${name} PUBLIC "${PROJECT_SOURCE_DIR}/Source")
  target_link_libraries(${name} PRIVATE WisteriaOptions)
  target_compile_features(${name} PUBLIC cxx_std_20)
endfunction()

# Declares a program: wisteria_program(NAME sources...).
function(wisteria_program name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE WisteriaOptions)
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()
