#pragma once

// This library is C++17. A linter that announces coroutines to Asio for the rest of the code must
// not do so here.
#undef BOOST_ASIO_HAS_CO_AWAIT
#undef BOOST_ASIO_HAS_STD_COROUTINE
