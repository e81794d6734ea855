// Command lines of the tools, on Abseil flags.
//
// Flags may be written with '-' or '_' (--dry-run, --dry_run) and stand before,
// between and after the words. A mistake is an error with the remedy, so that a
// tool ends with its own exit code for wrong usage.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"

namespace carawaylatch::tools
{

enum class ExitCode {
    Done = 0,
    WrongUsage = 2, // wrong usage, settings or tables
    Refused = 3, // understood and refused, or a check that failed
    Unreachable = 4,
};

// Returns the exit code that stands for an error kind.
[[nodiscard]] ExitCode exitCodeFor(base::ErrorKind kind);

// Sets the flags and returns the other words; asks for help are words of the flags `help` and `version`.
[[nodiscard]] base::Result<std::vector<std::string>> parseCommandLine(std::span<const char *const> arguments);

// Returns one line for each flag that the sources below `folder` define.
[[nodiscard]] std::string flagsHelp(std::string_view folder);

// Reads "10.0.0.1:8080"; the message names the flag.
[[nodiscard]] base::Result<base::Endpoint> parseEndpointFlag(std::string_view flag, std::string_view text);

} // namespace carawaylatch::tools
