// Names of attempt results, as used in metrics.
#include "carawaylatch/relay/attemptplan.h"

namespace carawaylatch::relay
{

std::string_view attemptResultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Finished:
        return "finished";
    case AttemptResult::Broken:
        return "broken";
    case AttemptResult::Stale:
        return "stale";
    case AttemptResult::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace carawaylatch::relay
