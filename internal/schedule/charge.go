package schedule

// charge adds the expected engine time of a call to its tenant's account.
func (s *Scheduler) charge(entry *waitingItem, view *EngineView, missTokens int64) {
	decode := entry.outlook.AnswerTokens * view.DecodeSecondsPerToken / float64(max(view.Load.MaximumRunning, 1))
	engineSeconds := float64(missTokens)*view.PrefillSecondsPerToken + decode
	account := s.fairness.account(entry.Key.Tenant)
	account.share = s.shareOf(account)
	s.fairness.charge(account, engineSeconds, s.ownEngines())
	account.penalty = s.fairness.penaltyOf(account)
	if queue := s.classes[classKey{model: entry.Model, adapter: entry.Adapter}]; queue != nil {
		if own := queue.tenants[account.name]; own != nil {
			queue.reorder(own)
		}
	}
}

// ownEngines returns the number of engines' worth of work that this daemon
// assigns. An engine shared with other daemons counts in part.
func (s *Scheduler) ownEngines() float64 {
	engines := 0.0
	for _, view := range s.sortedEngines {
		engines += float64(view.Assigned+1) / float64(view.Occupied()+1)
	}
	return engines
}

// shareOf returns a tenant's share. A tenant with waiting calls keeps the share
// that it had when it became active.
func (s *Scheduler) shareOf(account *tenantAccount) float64 {
	if account.active {
		return account.share
	}
	return s.share(account.name)
}
