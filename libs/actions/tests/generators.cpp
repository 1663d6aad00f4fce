#include "generators.h"

#include <sstream>

namespace ej::actions::model {

namespace {

rc::Gen<step> any_step()
{
    using enum operation;
    const auto what = rc::gen::weightedElement<operation>({{30, deliver},
                                                           {3, drop},
                                                           {2, linger},
                                                           {14, submit},
                                                           {2, issue},
                                                           {3, advance},
                                                           {1, crash},
                                                           {2, pause},
                                                           {2, wake},
                                                           {1, outage},
                                                           {1, cut},
                                                           {1, refuse},
                                                           {1, drain}});
    const auto number = rc::gen::inRange<std::size_t>(0, 48);
    return rc::gen::construct<step>(what, number, number);
}

} // namespace

rc::Gen<history> any_history()
{
    return rc::gen::withSize([](int size) {
        return rc::gen::resize(3 * size, rc::gen::container<history>(any_step()));
    });
}

rc::detail::TestResult check_histories(const std::function<void(const history&)>& property,
                                       int histories)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = histories;
    return rc::detail::checkTestable([&] { property(*any_history()); }, rc::detail::TestMetadata{},
                                     params);
}

std::string described(const rc::detail::TestResult& result)
{
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
}

} // namespace ej::actions::model
