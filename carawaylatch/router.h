// carawaylatch: a router for language-model traffic with long shared prompts, and
// the coordination components it is built from.
//
// Purpose. Several customers share a fleet of model engines. Their prompts share
// nested prefixes (a template, a contract, a clause), and engines cache the computed
// state of prefixes for a few seconds. A router sends each request to an engine that
// has its prefix cached, delivers the response complete and in order, isolates
// customers from each other, and executes calls that must not be repeated at most
// once, even when routers, engines or the platform fail.
//
// The complete router, as the daemon uses it:
//
//     #include <carawaylatch/router.h>
//
//     auto settings = carawaylatch::loadSettings("/etc/carawaylatch.ini");
//     if (!settings) {
//         std::cerr << settings.error().message << '\n';
//         return 2;
//     }
//     carawaylatch::Router router(settings.value());
//     if (auto started = router.start(); !started) {
//         std::cerr << started.error().message << '\n';
//         return 2;
//     }
//     ... router.requestStop() when a signal arrives ...
//     const auto kind = router.waitUntilStopped();
//
// Options. Settings has a member for each section of the INI file; docs/SETTINGS.md
// lists keys, units, defaults and ranges. Routes, pools and customers are not
// settings: they are the configuration in the platform's object store, which is
// edited with carawaylatchctl and described in docs/TABLES.md.
//
// Errors. The library throws no exceptions. Every function that can fail returns
// Result<T>; its error has a kind for programs, a message for people that says how to
// fix it, and retryAfter, the delay after which a retry can succeed.
//
//     InvalidArgument   the input is invalid; the message says what to write
//     Unavailable       the other side was not reached; nothing took effect
//     Unclear           it may have taken effect; read back to find out
//     Overloaded        no capacity within the deadline; see retryAfter
//     NotRun            the call was not executed and will not be
//
// The others are in carawaylatch/base/error.h.
//
// Threads. A Router owns its threads and sockets; its functions are thread-safe. It
// starts no process, reads no file but its settings, and stores nothing on disk.
//
// Components. Each is a state machine or a small object without I/O of its own, and
// can be embedded separately. Their headers:
//
//     carawaylatch/routing/strategy.h               chooses an upstream for a prompt
//     carawaylatch/prefix/cacheindex.h              cached prefixes of each upstream, bounded in bytes
//     carawaylatch/orders/orderexecutor.h           calls executed at most once
//     carawaylatch/admission/admissioncontroller.h  limits, fair queueing, load shedding
//     carawaylatch/relay/streamassembler.h          complete and ordered streams
//     carawaylatch/config/configstore.h               configuration tables with optimistic concurrency
//     carawaylatch/fleet/lease.h                    leases with fencing tokens
//     carawaylatch/membership/memberlist.h          membership and failure detection
//     carawaylatch/store/objectstore.h              storage interface that an embedder implements
//
// examples/placement.cpp embeds only the strategy, examples/orderexecutor.cpp only the
// order executor. To build against an installed tree:
//
//     find_package(carawaylatch REQUIRED)
//     target_link_libraries(program PRIVATE carawaylatch::carawaylatch)
#pragma once

#include "carawaylatch/base/error.h"
#include "carawaylatch/config/settings.h"
#include "carawaylatch/router/router.h"

namespace carawaylatch
{

using base::Error;
using base::ErrorKind;
using base::Result;
using config::loadSettings;
using config::parseSettings;
using config::Settings;
using router::Router;

} // namespace carawaylatch
