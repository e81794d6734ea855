// carawaylatch: a router for language-model traffic with long shared prompts, and
// the coordination parts it is made of.
//
// What it is for. Several customers share a fleet of model engines. Their prompts
// nest (a template, a contract, a clause) and engines keep the computed state of
// prefixes for a few seconds. A router sends each request to the engine that holds
// its prefix, delivers the answer whole and in order, keeps customers apart, and
// runs calls that must not repeat at most once, whatever fails meanwhile.
//
// The whole router, as the daemon uses it:
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
//     router.waitUntilStopped();
//
// Options. Settings has a member for each section of the INI file; docs/SETTINGS.md
// lists keys, units, defaults and ranges. What is routed where is not a setting: it
// is the configuration in the platform's object store, edited by carawaylatchctl and
// described in docs/TABLES.md.
//
// Errors. Nothing is thrown. Every function that can fail returns Result<T>; its
// error has a kind for programs, a message for people that names the remedy, and
// retryAfter, the earliest time from now at which trying again can help.
//
//     InvalidArgument   the input is wrong; the message says what to write
//     Unavailable       the other side was not reached; nothing took effect
//     Unclear           it may have taken effect; settle it by reading back
//     Overloaded        no capacity within the deadline; see retryAfter
//     NotRun            the call ran nowhere and will not
//
// The others are in carawaylatch/base/error.h.
//
// Threads. A Router owns its threads and sockets; its functions are safe from any
// thread. It starts no process, reads no file but its settings and keeps nothing on
// disk.
//
// Parts. Each is a state machine or a small object that does no I/O of its own, and
// can be embedded without the rest. Read the header of the part next:
//
//     carawaylatch/routing/strategy.h      choose an upstream for a prompt
//     carawaylatch/prefix/cacheindex.h     who caches what, bounded in bytes
//     carawaylatch/orders/orderexecutor.h      calls that run at most once
//     carawaylatch/admission/admissioncontroller.h        limits, fair queueing, refusal in time
//     carawaylatch/relay/streamassembler.h streams whole and in order
//     carawaylatch/config/configstore.h      tables with one point of acceptance
//     carawaylatch/fleet/lease.h           leases with fencing numbers
//     carawaylatch/membership/memberlist.h who is alive
//     carawaylatch/store/objectstore.h  the interface that an embedder implements
//
// examples/placement.cpp embeds the strategy alone, examples/orderguard.cpp the
// order desk alone. To build against an installed tree:
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
