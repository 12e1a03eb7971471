/*
 * policies.h - declarations of the policies listed in table.c
 */
#ifndef POLICY_POLICIES_H
#define POLICY_POLICIES_H

#include "policy/policy.h"

extern const struct policy_ops policy_least_load;
extern const struct policy_ops policy_prefix;
extern const struct policy_ops policy_reserve;
extern const struct policy_ops policy_round_robin;
extern const struct policy_ops policy_two_choices;

#endif
