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

class DrainCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "drain";
    }
    std::string_view words() const override
    {
        return "UPSTREAM";
    }
    std::string_view help() const override
    {
        return "send an upstream no new work; what it runs is finished";
    }
    std::size_t minWords() const override
    {
        return 1;
    }
    std::size_t maxWords() const override
    {
        return 1;
    }

    base::Result<void> run(CommandContext &context) const override
    {
        return print(context, context.router.drain(context.words.front()), " is leaving: no new work within 3 seconds; what it runs is finished");
    }
};

class UndrainCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "undrain";
    }
    std::string_view words() const override
    {
        return "UPSTREAM";
    }
    std::string_view help() const override
    {
        return "let a drained upstream take work again";
    }
    std::size_t minWords() const override
    {
        return 1;
    }
    std::size_t maxWords() const override
    {
        return 1;
    }

    base::Result<void> run(CommandContext &context) const override
    {
        return print(context, context.router.undrain(context.words.front()), " takes work again");
    }
};

} // namespace

const Command &drainCommand()
{
    static const DrainCommand Instance;
    return Instance;
}

const Command &undrainCommand()
{
    static const UndrainCommand Instance;
    return Instance;
}

} // namespace carawaylatch::ctl
