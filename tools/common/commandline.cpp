// Command line parser on Abseil's flag reflection.
//
// absl::ParseCommandLine ends the process with status 1 at the first error and doesn't
// accept '-' in names. Reflection finds each flag by name and parses its value, so that
// only the loop over the arguments is implemented here.
#include "tools/common/commandline.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <map>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::tools
{

namespace
{

using base::ErrorKind;
using base::fail;

std::string flagName(std::string_view text)
{
    std::string name(text);
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

// Sets the flag at the front. Returns the number of arguments consumed.
base::Result<std::size_t> parseFlag(std::span<const char *const> arguments)
{
    const std::string_view text = std::string_view(arguments.front()).substr(2);
    const auto equals = text.find('=');
    const auto name = flagName(text.substr(0, equals));
    auto *flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
        return fail(ErrorKind::InvalidArgument, "unknown flag --" + std::string(text.substr(0, equals)) + "; --help lists all flags");
    }
    std::size_t consumed = 1;
    std::string value = "true";
    if (equals != std::string_view::npos) {
        value = text.substr(equals + 1);
    } else if (!flag->IsOfType<bool>()) {
        if (arguments.size() < 2) {
            return fail(ErrorKind::InvalidArgument, "--" + name + " needs a value; write --" + name + "=VALUE");
        }
        value = arguments[1];
        consumed = 2;
    }
    std::string error;
    if (!flag->ParseFrom(value, &error)) {
        return fail(ErrorKind::InvalidArgument, "--" + name + ": '" + value + "' is not a valid value; --help describes the flag");
    }
    return consumed;
}

} // namespace

ExitCode exitCodeFor(base::ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return ExitCode::WrongUsage;
    case ErrorKind::Unavailable:
    case ErrorKind::Unclear:
    case ErrorKind::Truncated:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Refused;
    }
}

base::Result<std::vector<std::string>> parseCommandLine(std::span<const char *const> arguments)
{
    std::vector<std::string> operands;
    std::size_t i = 0;
    while (i < arguments.size()) {
        const std::string_view argument = arguments[i];
        if (!argument.starts_with("--")) {
            operands.emplace_back(argument);
            ++i;
            continue;
        }
        if (argument == "--") {
            operands.insert(operands.end(), arguments.begin() + static_cast<std::ptrdiff_t>(i) + 1, arguments.end());
            break;
        }
        BOOST_OUTCOME_TRY(consumed, parseFlag(arguments.subspan(i)));
        i += consumed;
    }
    return operands;
}

std::string flagsHelp(std::string_view folder)
{
    std::map<std::string, std::string> lines;
    for (const auto &[name, flag] : absl::GetAllFlags()) {
        if (flag->Filename().find(folder) != std::string::npos) {
            const auto initial = flag->DefaultValue();
            std::string shown(name);
            std::replace(shown.begin(), shown.end(), '_', '-');
            lines[shown] = flag->Help() + (initial.empty() ? "" : " (default " + initial + ")");
        }
    }
    std::string text;
    for (const auto &[name, help] : lines) {
        text += "  --";
        text += name;
        text += std::string(name.size() < 16 ? 16 - name.size() : 1, ' ');
        text += help;
        text += '\n';
    }
    return text;
}

base::Result<base::Endpoint> parseEndpointFlag(std::string_view flag, std::string_view text)
{
    auto endpoint = config::parseEndpoint(text);
    if (!endpoint) {
        return fail(ErrorKind::InvalidArgument, "--" + std::string(flag) + ": " + endpoint.error().message);
    }
    return endpoint;
}

} // namespace carawaylatch::tools
