// The commands of carawaylatchctl: one entry each in a table, one file for each or for a
// few related ones.
//
// A command takes its operands, calls the platform or a router through the interfaces of
// its context and writes its result to the context's stream. An error message includes the
// remedy; the kind of the error determines the exit code.
#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/store/objectstore.h"
#include "tools/ctl/routerclient.h"

namespace carawaylatch::ctl
{

// Maximum number of files of one command.
constexpr std::size_t MaxFiles = 100;

enum class OutputFormat {
    Text,
    Json,
};

enum class ApplyMode {
    Accept,
    DryRun, // validate against the current configuration without writing
};

enum class TableScope {
    NamedRows, // rows that the files don't name are kept
    Whole, // rows that the files don't name are removed
};

// Values of the command-line flags that commands read.
struct CommandOptions
{
    OutputFormat output = OutputFormat::Text;
    ApplyMode applyMode = ApplyMode::Accept;
    TableScope scope = TableScope::NamedRows;
    std::string author;
    std::vector<std::string> removals; // rows to remove, such as "route contracts"
    base::Duration wait{}; // for routers to have an edit in force; zero: no wait
    std::uint64_t editSeed = 0; // differs in every process
    std::size_t historyLimit = 20;
    std::string customerKey; // of explain
    std::string model; // of explain
    std::string promptFile; // of explain
    std::string trafficClass; // of explain
};

struct CommandContext
{
    const CommandOptions &options;
    std::vector<std::string> operands; // after the command's name
    store::ObjectStore &objects;
    RouterClient &router;
    std::ostream &out;
};

struct Command
{
    std::string_view name;
    std::string_view operands; // such as "FILE..."
    std::string_view help; // one line
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    base::Result<void> (*run)(CommandContext &context) = nullptr;
};

// Returns all commands in the order of the help text.
[[nodiscard]] std::span<const Command *const> allCommands();

// Runs the command named by the first operand, after checking the number of the others.
[[nodiscard]] base::Result<void> runCommand(CommandContext &context);

[[nodiscard]] const Command &checkCommand();
[[nodiscard]] const Command &applyCommand();
[[nodiscard]] const Command &getCommand();
[[nodiscard]] const Command &diffCommand();
[[nodiscard]] const Command &historyCommand();
[[nodiscard]] const Command &drainCommand();
[[nodiscard]] const Command &undrainCommand();
[[nodiscard]] const Command &statusCommand();
[[nodiscard]] const Command &explainCommand();
[[nodiscard]] const Command &digestCommand();
[[nodiscard]] const Command &eventsCommand();
[[nodiscard]] const Command &settingsCommand();
[[nodiscard]] const Command &tablesCommand();

} // namespace carawaylatch::ctl
