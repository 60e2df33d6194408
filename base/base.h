// Public header of the base library: errors, results, names of enumerators, time, random
// numbers, hashes, identifiers and JSON-line logs. Include this one, not the parts.
#pragma once

#include "base/clock.h"
#include "base/environment.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/names.h"
#include "base/random.h"
#include "base/result.h"
