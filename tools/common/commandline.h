// Command lines of the tools, on Abseil flags.
//
// Flags may be written with '-' or '_' (--dry-run, --dry_run) and may come before, between
// and after the operands. A parse error is returned together with its remedy, so that a
// tool can exit with its own code for wrong usage.
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
    Refused = 3, // valid but refused, or a check failed
    Unreachable = 4,
};

// Returns the exit code for an error kind.
[[nodiscard]] ExitCode exitCodeFor(base::ErrorKind kind);

// Sets the flags and returns the operands. --help and --version only set their flags.
[[nodiscard]] base::Result<std::vector<std::string>> parseCommandLine(std::span<const char *const> arguments);

// Returns one line for each flag that the sources below `folder` define.
[[nodiscard]] std::string flagsHelp(std::string_view folder);

// Parses an endpoint such as "10.0.0.1:8080". The error message names the flag.
[[nodiscard]] base::Result<base::Endpoint> parseEndpointFlag(std::string_view flag, std::string_view text);

} // namespace carawaylatch::tools
