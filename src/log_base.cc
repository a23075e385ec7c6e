// Storage of easylogging++. It is part of that library's target, so that whoever
// links one has the other.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
