// drain and undrain: an upstream takes no new work, or takes it again.
//
// One router is told; it spreads the mark to its peers at once.
#include <ostream>

#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

namespace
{

base::Result<void> printResult(CommandContext &context, const base::Result<std::string> &response, std::string_view text)
{
    if (!response) {
        return response.error();
    }
    if (context.options.output == OutputFormat::Json) {
        context.out << response.value() << '\n';
    } else {
        context.out << context.operands.front() << text << '\n';
    }
    return base::ok();
}

base::Result<void> runDrain(CommandContext &context)
{
    return printResult(context, context.router.drain(context.operands.front()), " is leaving: no new work within 3 seconds; what it runs is finished");
}

base::Result<void> runUndrain(CommandContext &context)
{
    return printResult(context, context.router.undrain(context.operands.front()), " takes work again");
}

} // namespace

const Command &drainCommand()
{
    static const Command Instance{"drain", "UPSTREAM", "send an upstream no new work; what it runs is finished", 1, 1, runDrain};
    return Instance;
}

const Command &undrainCommand()
{
    static const Command Instance{"undrain", "UPSTREAM", "let a drained upstream take work again", 1, 1, runUndrain};
    return Instance;
}

} // namespace carawaylatch::ctl
