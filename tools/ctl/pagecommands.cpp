// Commands that print reference pages (events, settings, tables) and the digest of a key
// for the tables. The pages are rendered from the code that they describe.
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

// Prints a reference page that the library renders.
template <std::string (*Render)()>
base::Result<void> printPage(CommandContext &context)
{
    context.out << Render();
    return base::ok();
}

base::Result<void> runDigest(CommandContext &context)
{
    context.out << config::keyDigest(context.operands.front()) << '\n';
    return base::ok();
}

} // namespace

const Command &digestCommand()
{
    static const Command Instance{"digest", "KEY", "print the key_digest of a customer's bearer key", 1, 1, runDigest};
    return Instance;
}

const Command &eventsCommand()
{
    static const Command Instance{"events", "", "print the catalogue of log events (docs/EVENTS.md)", 0, 0, printPage<base::renderLogEventCatalogue>};
    return Instance;
}

const Command &settingsCommand()
{
    static const Command Instance{"settings", "", "print the settings of a router (docs/SETTINGS.md)", 0, 0, printPage<config::renderSettingsPage>};
    return Instance;
}

const Command &tablesCommand()
{
    static const Command Instance{"tables", "", "print the fields of the tables (docs/TABLES.md)", 0, 0, printPage<config::renderTablesPage>};
    return Instance;
}

} // namespace carawaylatch::ctl
