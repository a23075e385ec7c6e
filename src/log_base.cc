// Storage of easylogging++. It is compiled into that library's target, so that
// every program that links the library also has its storage.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
