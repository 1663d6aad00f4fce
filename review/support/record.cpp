#include "record.h"

#include <cstdio>

namespace review {

void record::line(const std::string& text)
{
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", seconds());
    file_ << time << text << '\n' << std::flush;
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady::now() - begin_).count();
}

} // namespace review
