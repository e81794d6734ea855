# The gateway program alone: only the modules that it uses, so that a clean build
# needs neither TBB, protobuf, prometheus-cpp nor glog.
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
file(GLOB GATEWAY_SOURCES CONFIGURE_DEPENDS carawaylatch/proxy/*.cpp carawaylatch/gateway/*.cpp platform/*.cpp)
add_executable(carawaylatch-gateway daemon/gateway/main.cpp ${GATEWAY_SOURCES}
    carawaylatch/admission/borrowedshares.cpp carawaylatch/admission/customerlimit.cpp carawaylatch/admission/customerlimits.cpp carawaylatch/admission/limitbuckets.cpp
    carawaylatch/admission/limitcandidates.cpp carawaylatch/admission/quotaleases.cpp carawaylatch/admission/startdelay.cpp
    carawaylatch/admission/tokenbalances.cpp
    carawaylatch/base/error.cpp carawaylatch/base/hash.cpp carawaylatch/base/incarnation.cpp carawaylatch/base/logevents.cpp
    carawaylatch/base/suspendedtime.cpp carawaylatch/base/time.cpp carawaylatch/base/timerservice.cpp
    carawaylatch/config/inidocument.cpp carawaylatch/config/valuetext.cpp
    carawaylatch/fleet/lease.cpp carawaylatch/fleet/weightscontroller.cpp
    carawaylatch/peer/http2session.cpp carawaylatch/relay/retrybudget.cpp carawaylatch/telemetry/eventlog.cpp carawaylatch/telemetry/latencyhistogram.cpp)
target_include_directories(carawaylatch-gateway PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(carawaylatch-gateway PRIVATE Threads::Threads PkgConfig::INIH PkgConfig::NGHTTP2 absl::flags absl::flags_parse absl::flags_usage)
