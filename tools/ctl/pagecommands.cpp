// Commands that print pages of the manual and help to write tables: events,
// settings, tables, digest. The pages come from the code that they describe.
#include <ostream>

#include "carawaylatch/base/logevents.h"
#include "carawaylatch/config/keydigest.h"
#include "carawaylatch/config/settings.h"
#include "carawaylatch/config/tablefile.h"
#include "tools/ctl/command.h"

namespace carawaylatch::ctl
{

namespace
{

// Prints a page that the library renders.
class PageCommand : public Command
{
public:
    PageCommand(std::string_view name, std::string_view help, std::string (*render)())
        : m_name(name)
        , m_help(help)
        , m_render(render)
    {
    }

    std::string_view name() const override
    {
        return m_name;
    }
    std::string_view words() const override
    {
        return "";
    }
    std::string_view help() const override
    {
        return m_help;
    }
    std::size_t minWords() const override
    {
        return 0;
    }
    std::size_t maxWords() const override
    {
        return 0;
    }

    base::Result<void> run(CommandContext &context) const override
    {
        context.out << m_render();
        return base::ok();
    }

private:
    std::string_view m_name;
    std::string_view m_help;
    std::string (*m_render)();
};

class DigestCommand : public Command
{
public:
    std::string_view name() const override
    {
        return "digest";
    }
    std::string_view words() const override
    {
        return "KEY";
    }
    std::string_view help() const override
    {
        return "print the key_digest of a customer's bearer key";
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
        context.out << config::keyDigest(context.words.front()) << '\n';
        return base::ok();
    }
};

} // namespace

const Command &digestCommand()
{
    static const DigestCommand Instance;
    return Instance;
}

const Command &eventsCommand()
{
    static const PageCommand Instance("events", "print the catalogue of log events (docs/EVENTS.md)", base::renderLogEventCatalogue);
    return Instance;
}

const Command &settingsCommand()
{
    static const PageCommand Instance("settings", "print the settings of a router (docs/SETTINGS.md)", config::renderSettingsPage);
    return Instance;
}

const Command &tablesCommand()
{
    static const PageCommand Instance("tables", "print the fields of the tables (docs/TABLES.md)", config::renderTablesPage);
    return Instance;
}

} // namespace carawaylatch::ctl
