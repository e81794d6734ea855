# Install target: library, headers, CMake package and pkg-config file.
include(CMakePackageConfigHelpers)

install(TARGETS carawaylatch EXPORT carawaylatchTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY carawaylatch DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
    FILES_MATCHING PATTERN "*.h" PATTERN "*.def" PATTERN "testing" EXCLUDE)
install(EXPORT carawaylatchTargets NAMESPACE carawaylatch:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/carawaylatch)

configure_package_config_file(cmake/carawaylatchConfig.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/carawaylatchConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/carawaylatch)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/carawaylatchConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/carawaylatchConfig.cmake ${CMAKE_CURRENT_BINARY_DIR}/carawaylatchConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/carawaylatch)

configure_file(cmake/carawaylatch.pc.in ${CMAKE_CURRENT_BINARY_DIR}/carawaylatch.pc @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/carawaylatch.pc DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
