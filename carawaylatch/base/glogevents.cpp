// Writes log events through glog. Kept in a file of its own so that the gateway
// program, which writes its log itself, does not link glog.
#include <glog/logging.h>

#include "carawaylatch/base/logevents.h"

namespace carawaylatch::base
{

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const std::string line = formatLogEvent(event, fields);
    switch (logEventLevel(event)) {
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace carawaylatch::base
