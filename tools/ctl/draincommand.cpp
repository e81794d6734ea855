// drain and undrain: an upstream takes no new work, or takes it again.
//
// One router is told; it spreads the mark to its peers at once.
#include <ostream>

#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

namespace
{

base::Result<void> print(CommandContext &context, const base::Result<std::string> &answer, std::string_view text)
{
    if (!answer) {
        return answer.error();
    }
    if (context.options.output == OutputForm::Json) {
        context.out << answer.value() << '\n';
    } else {
        context.out << context.words.front() << text << '\n';
    }
    return base::ok();
}

base::Result<void> runDrain(CommandContext &context)
{
    return print(context, context.router.drain(context.words.front()), " is leaving: no new work within 3 seconds; what it runs is finished");
}

base::Result<void> runUndrain(CommandContext &context)
{
    return print(context, context.router.undrain(context.words.front()), " takes work again");
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
