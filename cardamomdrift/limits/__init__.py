"""Admission, concurrency, retry budgets and connection shares."""
