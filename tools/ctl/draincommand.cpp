// drain and undrain: stop and resume sending new requests to an upstream.
//
// The request goes to one router, which forwards the mark to its peers at once.
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
    return printResult(context, context.router.drain(context.operands.front()),
                       " is leaving: all routers stop sending it new requests within 3 seconds; running requests finish");
}

base::Result<void> runUndrain(CommandContext &context)
{
    return printResult(context, context.router.undrain(context.operands.front()), " accepts new requests again");
}

} // namespace

const Command &drainCommand()
{
    static const Command Instance{"drain", "UPSTREAM", "stop sending an upstream new requests; running requests finish", 1, 1, runDrain};
    return Instance;
}

const Command &undrainCommand()
{
    static const Command Instance{"undrain", "UPSTREAM", "resume sending requests to a drained upstream", 1, 1, runUndrain};
    return Instance;
}

} // namespace carawaylatch::ctl
