#pragma once

// This library is compiled as C++17. The linter sees the macros that enable coroutines in Asio for
// the rest of the code, so they are undefined here.
#undef BOOST_ASIO_HAS_CO_AWAIT
#undef BOOST_ASIO_HAS_STD_COROUTINE
