# The installed library: the core and the policies, without the daemon.
include(CMakePackageConfigHelpers)

set(PACKAGE_HEADERS ${CMAKE_INSTALL_INCLUDEDIR}/fuchsiagauge)
set(PACKAGE_CONFIG ${CMAKE_INSTALL_LIBDIR}/cmake/fuchsiagauge)

add_library(fuchsiagauge INTERFACE)
target_link_libraries(fuchsiagauge INTERFACE fuchsiagauge_policy fuchsiagauge_core)
add_library(fuchsiagauge::fuchsiagauge ALIAS fuchsiagauge)
target_include_directories(fuchsiagauge_core INTERFACE
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}> $<INSTALL_INTERFACE:${PACKAGE_HEADERS}>)

install(TARGETS fuchsiagauge fuchsiagauge_core fuchsiagauge_policy EXPORT fuchsiagauge_targets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(EXPORT fuchsiagauge_targets NAMESPACE fuchsiagauge:: FILE fuchsiagauge_targets.cmake
    DESTINATION ${PACKAGE_CONFIG})
install(DIRECTORY core policy DESTINATION ${PACKAGE_HEADERS}
    FILES_MATCHING PATTERN "*.h" PATTERN "json_fields.h" EXCLUDE PATTERN "pch.h" EXCLUDE)
install(FILES docs/man/fuchsiagauge.1 DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES docs/man/fuchsiagauged.8 DESTINATION ${CMAKE_INSTALL_MANDIR}/man8)

configure_package_config_file(cmake/fuchsiagauge-config.cmake.in ${CMAKE_BINARY_DIR}/fuchsiagauge-config.cmake
    INSTALL_DESTINATION ${PACKAGE_CONFIG})
write_basic_package_version_file(${CMAKE_BINARY_DIR}/fuchsiagauge-config-version.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/fuchsiagauge-config.cmake ${CMAKE_BINARY_DIR}/fuchsiagauge-config-version.cmake
    DESTINATION ${PACKAGE_CONFIG})
