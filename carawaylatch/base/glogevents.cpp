// Log events through glog, for programs that log with it.
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
